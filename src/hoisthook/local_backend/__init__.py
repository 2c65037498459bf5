"""The backend server beside a node: what it is sent, and what it answers."""

from __future__ import annotations
