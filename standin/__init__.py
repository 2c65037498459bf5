"""Stand-ins for the systems that hoisthook depends on, for tests and benchmarks; not shipped."""

from __future__ import annotations
