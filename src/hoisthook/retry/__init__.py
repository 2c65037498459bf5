"""Budgets for retries and hedges, and evidence on requests that crash backend servers."""

from __future__ import annotations
