"""Benchmarks and simulations that are run by hand; each module describes its command and output."""

from __future__ import annotations
