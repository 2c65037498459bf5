"""What operators say about traffic: routes, services and limits, in versions."""

from __future__ import annotations
