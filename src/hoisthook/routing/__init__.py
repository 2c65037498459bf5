"""Choice of a backend server at the ingress node."""

from __future__ import annotations
