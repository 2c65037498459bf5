"""The published schema of the operators' RPC interface and the code generated from it."""

from __future__ import annotations
