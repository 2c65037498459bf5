"""Configuration as a fold of the platform's log."""

from __future__ import annotations
