"""Budgets for retries and hedging."""

from __future__ import annotations
