"""A model of the systems served, on virtual time, that runs the real decisions on modelled load."""

from __future__ import annotations
