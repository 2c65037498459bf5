"""Teams that share the system: their keys, quotas and ranks."""

from __future__ import annotations
