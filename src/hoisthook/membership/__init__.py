"""Cluster membership and peer state, exchanged between nodes by gossip and polling."""

from __future__ import annotations
