"""Simulation on virtual time: the routing and admission code of nodes under modelled load."""

from __future__ import annotations
