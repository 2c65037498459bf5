"""The entry's choice of a backend server."""

from __future__ import annotations
