"""Teams that share the system: who asks, how much is theirs, and who is next."""

from __future__ import annotations
