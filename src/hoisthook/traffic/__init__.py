"""Traffic configuration set by operators: routes, services, limits and evacuations."""

from __future__ import annotations
