"""Admission control for the slots of one backend server."""

from __future__ import annotations
