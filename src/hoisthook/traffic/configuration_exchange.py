"""Tells other nodes what their configuration lacks, and takes in what they tell."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from hoisthook.traffic.configuration_history import ConfigurationHistory
from hoisthook.traffic.configuration_holder import ConfigurationSource

if TYPE_CHECKING:
    from hoisthook.port.event_log import EventLog
    from hoisthook.traffic.configuration_holder import ConfigurationHolder
    from hoisthook.traffic.configuration_parts import ConfigurationDelta
    from hoisthook.traffic.configuration_parts import ConfigurationParts
    from hoisthook.traffic.traffic_configuration import TrafficConfiguration


class ConfigurationDecoder(Protocol):
    """Reads a configuration as operators publish it."""

    def __call__(self, raw: bytes) -> TrafficConfiguration | None:
        """Return the configuration, or None if it cannot be read."""

    def assemble(self, parts: ConfigurationParts) -> TrafficConfiguration | None:
        """Return the configuration of its parts, or None if one cannot be read."""


class ConfigurationExchange:
    """The configuration in force as differences between versions.

    Parameters
    ----------
    holder : ConfigurationHolder
        What is in force; gets what others tell.
    decode : ConfigurationDecoder
        Reads it.
    log : EventLog
        Gets a line for a difference that does not fit.
    """

    def __init__(
        self, holder: ConfigurationHolder, decode: ConfigurationDecoder, log: EventLog
    ) -> None:
        self._holder = holder
        self._decode = decode
        self._log = log
        self._history = ConfigurationHistory()
        holder.on_change(lambda configuration: self._history.take(configuration.parts))

    def since(self, version: int) -> ConfigurationDelta | None:
        """Return what a node lacks that has a version; None if it lacks nothing."""
        return self._history.since(version)

    def take(self, delta: ConfigurationDelta) -> bool:
        """Put news in force; return whether they fit what is known here."""
        if delta.version <= self._holder.version:
            return True
        current = self._holder.current
        parts = delta.applied_to(None if current is None else current.parts)
        configuration = None if parts is None else self._decode.assemble(parts)
        if configuration is None:
            self._log.event("configuration_misfit", version=delta.version, base=delta.base)
            return False
        self._holder.offer(configuration, ConfigurationSource.PEER)
        return True
