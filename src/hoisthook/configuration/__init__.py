"""Service configuration, derived from the records of the platform's log."""

from __future__ import annotations
