"""Implementations of the ports: HTTP, logging, metrics and the operator service."""

from __future__ import annotations
