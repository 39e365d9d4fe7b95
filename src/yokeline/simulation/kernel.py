"""The simulation: hosts on a virtual network, driven by simpy's virtual clock."""

from __future__ import annotations

import random

from yokeline.effects import (
    Address,
    DatagramArrived,
    Effect,
    Exit,
    HttpCancel,
    HttpReply,
    HttpRequest,
    HttpStreamData,
    HttpStreamEnd,
    HttpStreamStart,
    LogRecord,
    PeerMessage,
    SendDatagram,
    SendPeer,
)
from yokeline.identifiers import ReplicaId
from yokeline.simulation.exchanges import Exchanges
from yokeline.simulation.host import Host
from yokeline.simulation.network import Latencies, Network, OrderedChannel
from yokeline.simulation.schedule import Schedule
from yokeline.simulation.trace import Trace


class Simulation:
    """Owns virtual time, the network, the hosts and the trace; carries effects out.

    All randomness comes from one seed, drawn through a separate source per use, so that one
    part's draws do not shift another's.
    """

    def __init__(self, seed: int, latencies: Latencies, *, keep_trace: bool = False) -> None:
        """Create an empty deployment."""
        self.seed = seed
        self.schedule = Schedule()
        self.trace = Trace(keep=keep_trace)
        self.network = Network(self.schedule, latencies, self.new_source("network"))
        self.hosts: dict[str, Host] = {}
        self._exchanges = Exchanges(self, self.network, self.new_source("exchanges"))
        self._http: dict[Address, Host] = {}
        self._peers: dict[Address, Host] = {}
        self._peer_channels: dict[tuple[str, Address], OrderedChannel] = {}

    def new_source(self, use: str) -> random.Random:
        """Return the random source for one use."""
        return random.Random(f"{self.seed}/{use}")

    def add_host(self, host: Host, zone: str) -> Host:
        """Connect a host to the network."""
        self.hosts[host.name] = host
        self.network.place(host.name, zone)
        if host.http is not None:
            self._http[host.http] = host
        if host.peer is not None:
            self._peers[host.peer] = host
        return host

    def host_at_http(self, address: Address) -> Host | None:
        """Return the host that serves HTTP at an address."""
        return self._http.get(address)

    def carry_out(self, host: Host, effect: Effect) -> None:
        """Carry out an effect of a host's process."""
        if isinstance(effect, SendPeer):
            self._send_peer(host, effect)
        elif isinstance(effect, SendDatagram):
            self._send_datagram(host, effect)
        elif isinstance(effect, HttpRequest):
            self._exchanges.begin(host, effect)
        elif isinstance(effect, HttpReply | HttpStreamStart | HttpStreamData | HttpStreamEnd):
            self._exchanges.answer(host, effect)
        elif isinstance(effect, HttpCancel):
            self._exchanges.cancel(host, effect.request)
        elif isinstance(effect, Exit):
            host.exit(effect.code)
        elif not isinstance(effect, LogRecord):
            raise TypeError(f"no such effect: {effect!r}")

    def process_ended(self, host: Host) -> None:
        """Reset all connections of a process that ended."""
        self._exchanges.process_ended(host)
        for key in [key for key in self._peer_channels if host.name == key[0]]:
            self._reset_peer_channel(key)
        if host.peer is not None:
            for key in [key for key in self._peer_channels if host.peer == key[1]]:
                self._reset_peer_channel(key)

    def _send_peer(self, host: Host, effect: SendPeer) -> None:
        target = self._peers.get(effect.address)
        sender = replica_of(host)
        if target is None or sender is None:
            return
        event = PeerMessage(sender=sender, message=effect.message)
        channel = self._peer_channel(host, effect.address, target)
        channel.send(lambda: _deliver_to_replica(target, effect.to, event))

    def _peer_channel(self, host: Host, address: Address, target: Host) -> OrderedChannel:
        key = (host.name, address)
        channel = self._peer_channels.get(key)
        if channel is None:
            channel = OrderedChannel(
                self.network, host.name, target.name, lambda: self._reset_peer_channel(key)
            )
            self._peer_channels[key] = channel
        return channel

    def _reset_peer_channel(self, key: tuple[str, Address]) -> None:
        channel = self._peer_channels.pop(key, None)
        if channel is not None:
            channel.close()

    def _send_datagram(self, host: Host, effect: SendDatagram) -> None:
        target = self._peers.get(effect.address)
        if target is None or host.peer is None:
            return
        event = DatagramArrived(source=host.peer, message=effect.message)
        self.network.send_datagram(host.name, target.name, lambda: target.deliver(event))


def replica_of(host: Host) -> ReplicaId | None:
    """Return the replica id of the process on a host, None for services without one."""
    return getattr(host.service, "replica", None)


def _deliver_to_replica(target: Host, to: ReplicaId, event: PeerMessage) -> None:
    if replica_of(target) == to:
        target.deliver(event)
