"""The local backend server: requests sent to it, its answers, and its crashes."""

from __future__ import annotations
