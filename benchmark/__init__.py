"""Measurements; every figure is printed with the command that gave it."""

from __future__ import annotations
