"""Admission beside the backend server's slots."""

from __future__ import annotations
