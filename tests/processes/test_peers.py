from __future__ import annotations

import socket
import struct
import threading
import unittest
from unittest import mock

from tests.processes.support import (
    LOOPBACK,
    PATIENCE_SECONDS,
    Running,
    ScriptedService,
    wait_for,
)
from yokeline.effects import Address, DatagramArrived, PeerMessage, SendDatagram, SendPeer, Tick
from yokeline.identifiers import NodeName, ReplicaId
from yokeline.membership.messages import Ack, SyncRequest
from yokeline.membership.view import Member
from yokeline.messages.types import Heartbeat
from yokeline.node.limits import PeerLimits, TransportLimits
from yokeline.node.process import Application, BoundService, ServiceBinding
from yokeline.node.reconnects import ReconnectSchedule
from yokeline.node.sockets import open_sockets

A = ReplicaId("a~1")
B = ReplicaId("b~1")


def node(replica: ReplicaId, port: int = 0, **limits: float) -> Running:
    peers = PeerLimits(**limits)  # type: ignore[arg-type]
    binding = ServiceBinding(
        peer=Address("127.0.0.1", port), replica=replica, limits=TransportLimits(peers=peers)
    )
    return Running(ScriptedService(), binding)


def peer_address(running: Running) -> Address:
    assert running.bound.peer_address is not None
    return running.bound.peer_address


def sequences(running: Running) -> list[int]:
    events = running.service.events  # type: ignore[attr-defined]
    messages = [event.message for event in events if isinstance(event, PeerMessage)]
    return [message.sequence for message in messages if isinstance(message, Heartbeat)]


def heartbeat(to: ReplicaId, address: Address, sequence: int) -> SendPeer:
    return SendPeer(to=to, address=address, message=Heartbeat(sequence=sequence))


class Messages(unittest.TestCase):
    def test_messages_arrive_in_order_both_ways(self) -> None:
        with node(A) as a, node(B) as b:
            for sequence in range(500):
                a.emit(heartbeat(B, peer_address(b), sequence))
                b.emit(heartbeat(A, peer_address(a), sequence))
            wait_for(lambda: len(sequences(a)) == len(sequences(b)) == 500, "all messages")
            self.assertEqual(sequences(a), list(range(500)))
            self.assertEqual(sequences(b), list(range(500)))
            event = b.service.events[0]  # type: ignore[attr-defined]
            self.assertEqual(event.sender, A)

    def test_messages_for_an_earlier_process_start_are_dropped(self) -> None:
        with node(A) as a, node(B) as b:
            a.emit(heartbeat(ReplicaId("b~0"), peer_address(b), 1))
            a.emit(heartbeat(B, peer_address(b), 2))
            wait_for(lambda: sequences(b), "a message")
            self.assertEqual(sequences(b), [2])
            assert b.bound.peers is not None
            self.assertEqual(b.bound.peers.counters["other_recipient"], 1)

    def test_a_peer_that_starts_late_is_reached(self) -> None:
        reserved = open_sockets(None, LOOPBACK).unwrap()
        address = reserved.peer_address()
        assert address is not None
        reserved.close()
        with node(A, max_queue_seconds=60.0) as a:
            a.emit(heartbeat(B, address, 1))
            with node(B, address.port) as b:
                wait_for(lambda: sequences(b) == [1], "the message")
            a.emit(heartbeat(B, address, 2))
            with node(B, address.port) as b:
                a.emit(heartbeat(B, address, 3))
                wait_for(lambda: 3 in sequences(b), "a message after the restart")

    def test_a_peer_that_sends_a_message_is_connected_to_at_once(self) -> None:
        """A link to a node that started later waited for the end of its longest pause."""
        reserved = open_sockets(None, LOOPBACK).unwrap()
        address = reserved.peer_address()
        assert address is not None
        reserved.close()
        never = 10.0 * PATIENCE_SECONDS
        with (
            mock.patch.object(ReconnectSchedule, "attempt_failed", return_value=never),
            node(A, max_queue_seconds=never) as a,
        ):
            a.emit(heartbeat(B, address, 1))
            assert a.bound.peers is not None
            links = a.bound.peers._links
            wait_for(lambda: address in links and links[address]._attempt, "a failed attempt")
            with node(B, address.port) as b:

                def is_reached() -> bool:
                    b.emit(heartbeat(A, peer_address(a), 2))
                    return sequences(b) == [1]

                wait_for(is_reached, "the message")

    def test_the_queue_for_a_dead_peer_is_bounded(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as taken:
            address = Address("127.0.0.1", taken.getsockname()[1])
        with node(A, max_queue_bytes=1000) as a:
            for sequence in range(500):
                a.emit(heartbeat(B, address, sequence))
            peers = a.bound.peers
            assert peers is not None
            wait_for(lambda: peers.dropped_frames() > 400, "dropped frames")
            self.assertLessEqual(peers.unsent_bytes(), 1000)

    def test_garbage_on_the_peer_port_harms_nobody_else(self) -> None:
        with node(A) as a, node(B) as b:
            peers = b.bound.peers
            assert peers is not None
            where = (peer_address(b).host, peer_address(b).port)
            with (
                socket.create_connection(where) as not_framed,
                socket.create_connection(where) as not_decodable,
                socket.create_connection(where) as half,
            ):
                half.sendall(struct.pack(">I", 1000) + b"half")
                not_framed.sendall(b"\xff" * 64)
                self.assertEqual(not_framed.recv(1), b"")
                not_decodable.sendall(struct.pack(">I", 4) + b"\xc1\xc1\xc1\xc1")
                wait_for(lambda: peers.counters["malformed"] == 1, "the malformed frame")
                shown = b.bound.transport_counters()
                for reason in ("malformed", "bad_stream"):
                    metric = f'yokeline_peer_frames_dropped_total{{reason="{reason}"}}'
                    self.assertEqual(shown[metric], 1, reason)
                a.emit(heartbeat(B, peer_address(b), 7))
                wait_for(lambda: sequences(b) == [7], "the message of a real peer")

    def test_services_that_share_a_process_stop_one_by_one(self) -> None:
        application = Application()
        bound: dict[ReplicaId, BoundService] = {}
        services = {A: ScriptedService(), B: ScriptedService()}
        for replica, service in services.items():
            binding = ServiceBinding(peer=LOOPBACK, replica=replica)
            bound[replica] = application.add_service(service, binding).unwrap()
        thread = threading.Thread(target=application.run, daemon=True)
        thread.start()
        addresses = {replica: one.peer_address for replica, one in bound.items()}
        assert addresses[A] and addresses[B]
        services[A].to_emit.append(heartbeat(B, addresses[B], 5))
        bound[A].bridge.submit(Tick())
        wait_for(lambda: services[B].seen(PeerMessage), "the message")
        bound[A].bridge.request_stop()
        wait_for(lambda: bound[A].bridge.exit_code == 0, "the first stop")
        services[B].to_emit.append(heartbeat(A, addresses[A], 6))
        bound[B].bridge.submit(Tick())
        application.request_stop()
        thread.join(PATIENCE_SECONDS)
        self.assertFalse(thread.is_alive())
        self.assertEqual(len(services[A].seen(PeerMessage)), 0)


class Datagrams(unittest.TestCase):
    def test_datagrams_arrive_and_garbage_is_dropped(self) -> None:
        with node(A) as a, node(B) as b:
            member = Member(
                replica=A,
                name=NodeName("a"),
                zone="z",
                region="r",
                address=peer_address(a),
                http_address=Address("127.0.0.1", 1),
            )
            where = (peer_address(b).host, peer_address(b).port)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
                for garbage in (b"", b"\xff" * 2000, b"\x91\x80"):
                    stranger.sendto(garbage, where)
            messages = [Ack(sequence=1, sender=member), SyncRequest(digest=2, sender=member)]
            for message in messages:
                a.emit(SendDatagram(address=peer_address(b), message=message))
            service = b.service
            assert isinstance(service, ScriptedService)
            wait_for(lambda: len(service.events) == 2, "two datagrams")
            expected = [
                DatagramArrived(source=peer_address(a), message=message) for message in messages
            ]
            self.assertEqual(service.events, expected)


if __name__ == "__main__":
    unittest.main()
