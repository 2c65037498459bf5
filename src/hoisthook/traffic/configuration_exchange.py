"""Exchanges the traffic configuration with other nodes as deltas between versions."""

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
    """Decodes a configuration as operators publish it."""

    def __call__(self, raw: bytes) -> TrafficConfiguration | None:
        """Return the configuration, or None if it cannot be decoded."""

    def assemble(self, parts: ConfigurationParts) -> TrafficConfiguration | None:
        """Return the configuration made of its parts, or None if a part cannot be decoded."""


class ConfigurationExchange:
    """Computes deltas of the configuration for other nodes, and applies deltas from them.

    Parameters
    ----------
    holder : ConfigurationHolder
        Holds the configuration in force; gets newer ones from other nodes.
    decode : ConfigurationDecoder
        Decodes configurations.
    log : EventLog
        Gets an event for a delta that cannot be applied.
    """

    def __init__(
        self, holder: ConfigurationHolder, decode: ConfigurationDecoder, log: EventLog
    ) -> None:
        self._holder = holder
        self._decode = decode
        self._log = log
        self._history = ConfigurationHistory()
        holder.on_change(lambda configuration: self._history.add_version(configuration.parts))

    def since(self, version: int) -> ConfigurationDelta | None:
        """Return the delta for a node that has ``version``; None if it needs none."""
        return self._history.since(version)

    def take(self, delta: ConfigurationDelta) -> bool:
        """Apply a delta; return whether it fits the configuration in force.

        A delta to a version that is not newer is ignored and counts as fitting.
        """
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
