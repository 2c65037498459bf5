"""Routed requests, from the ingress node to the node of a backend server, and node membership."""

from __future__ import annotations
