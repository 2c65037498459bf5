"""Small stand-ins for what surrounds hoisthook; not shipped."""

from __future__ import annotations
