"""Storage nodes with regional texts and one forwarding node, with disks and messages in memory."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from yokeline.effects import Address, Effect, SendPeer, SyncFile
from yokeline.identifiers import NodeName, ReplicaId
from yokeline.ledger.codec import LedgerCodec
from yokeline.ledger.messages import (
    LedgerMessage,
    RegionalText,
    StoreText,
    TextReply,
    TextStored,
)
from yokeline.ledger.regional_text_store import RegionalTextStore, recover_texts
from yokeline.ledger.regional_texts import RegionalMark, RegionalTexts, TextNode, digest_of

EDGE = ReplicaId("edge~1")
EDGE_ADDRESS = Address("10.0.9.9", 1)
STEP_SECONDS = 0.05
_CODEC = LedgerCodec()


class TextMachine:
    """A storage machine: its disk, and its process while it runs."""

    def __init__(self, name: str, region: str, number: int) -> None:
        self.name = NodeName(name)
        self.region = region
        self.number = number
        self.disks = 1
        self.disk = b""
        self.store: RegionalTextStore | None = None
        self.is_retiring = False
        self.is_listed = True
        self.is_paused = False
        self.disk_hangs = False
        self.unsynced: list[SyncFile] = []

    @property
    def replica(self) -> ReplicaId:
        return ReplicaId(f"{self.name}~{self.disks}")

    @property
    def node(self) -> TextNode:
        return TextNode(
            name=self.name,
            replica=self.replica,
            address=Address(f"10.0.0.{self.number}", 1),
            region=self.region,
            is_retiring=self.is_retiring,
        )


class TextSite:
    """The machines, the messages that were delivered, and the time."""

    def __init__(self, **machines_by_region: int) -> None:
        self.now = 10.0
        self.machines: dict[str, TextMachine] = {}
        self.delivered: list[tuple[NodeName | ReplicaId, msgspec.Struct]] = []
        self.texts = RegionalTexts(EDGE_ADDRESS, "east")
        self.handle_edge_effects: Callable[[list[Effect]], None] | None = None
        """Carries out the forwarding node's effects; by default, its messages are delivered."""
        for region, count in machines_by_region.items():
            for _ in range(count):
                self.add(region)
        self.list_nodes()

    def wall(self) -> float:
        return 1_000_000.0 + self.now

    # ------------------------------------------------------------ machines

    def add(self, region: str) -> TextMachine:
        number = len(self.machines)
        machine = TextMachine(f"storage-{number}", region, number)
        self.machines[machine.name] = machine
        self.start(machine)
        return machine

    def start(self, machine: TextMachine) -> None:
        recovered = recover_texts(machine.disk).unwrap()
        machine.disk = machine.disk[: recovered.valid_bytes]
        machine.unsynced = []
        machine.store = RegionalTextStore(
            replica=machine.replica,
            address=machine.node.address,
            region=machine.region,
            recovered=recovered,
            wall=self.wall,
            now=self.now,
        )

    def stop(self, machine: TextMachine) -> None:
        machine.store = None

    def lose_disk(self, machine: TextMachine) -> None:
        """Lose the disk; the machine does not return until it is started."""
        machine.store = None
        machine.disk = b""
        machine.disks += 1

    def list_nodes(self) -> None:
        """Let every process read the current list of nodes and orders."""
        nodes = [machine.node for machine in self.machines.values() if machine.is_listed]
        self.texts.set_nodes(nodes)
        for machine in self.machines.values():
            if machine.store is not None:
                machine.store.set_nodes(nodes)

    def holders(self, turn_id: str) -> set[str]:
        """Return the machines on whose disks a text is."""
        return {
            machine.name
            for machine in self.machines.values()
            if turn_id in recover_texts(machine.disk).unwrap().texts
        }

    # ------------------------------------------------------------ time and messages

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            self.carry_out(EDGE, self.texts.tick(self.now))
            for machine in list(self.machines.values()):
                if machine.store is not None and not machine.is_paused:
                    self.carry_out(machine, machine.store.tick(self.now))
                    self._sync(machine)

    def carry_out(self, sender: ReplicaId | TextMachine, effects: list[Effect]) -> None:
        if sender == EDGE and self.handle_edge_effects is not None:
            self.handle_edge_effects(effects)
            return
        for effect in effects:
            if isinstance(effect, SyncFile):
                assert isinstance(sender, TextMachine)
                sender.unsynced.append(effect)
                self._sync(sender)
            elif isinstance(effect, SendPeer):
                self.deliver(sender, effect)

    def _sync(self, machine: TextMachine) -> None:
        while machine.unsynced and not machine.disk_hangs and machine.store is not None:
            write = machine.unsynced.pop(0)
            machine.disk = write.data if write.replace else machine.disk + write.data
            self.carry_out(machine, machine.store.synced(write.ticket))

    def deliver(self, sender: ReplicaId | TextMachine, effect: SendPeer) -> None:
        name = sender.replica if isinstance(sender, TextMachine) else sender
        assert isinstance(effect.message, LedgerMessage)
        data = _CODEC.encode_peer(name, effect.to, effect.message)
        message = _CODEC.decode_peer(data).unwrap().message
        if effect.to == EDGE:
            self.delivered.append((EDGE, message))
            if isinstance(message, TextStored):
                self.carry_out(EDGE, self.texts.take_stored(name, message, self.now))
            elif isinstance(message, TextReply):
                self.carry_out(EDGE, self.texts.take_texts(name, message, self.now))
            return
        for machine in self.machines.values():
            if machine.replica == effect.to and machine.store and not machine.is_paused:
                self.delivered.append((machine.name, message))
                answer = machine.store.handle(name, message, self.now)
                assert answer is not None
                self.carry_out(machine, answer)

    def received(self, *kinds: type) -> set[str]:
        """Return the machines that received a message of some types."""
        return {to for to, message in self.delivered if isinstance(message, kinds)}

    # ------------------------------------------------------------ the forwarding node

    def store(
        self,
        turn_id: str,
        *regions: str,
        previous: str = "",
        root: str = "",
        seconds: float = 60.0,
        limit: float = 3.0,
    ) -> int:
        """Store a text; return the copies with which it was acknowledged, 0 for a failure."""
        copies: list[int] = []

        def done(count: int, now: float) -> list[Effect]:
            copies.append(count)
            return []

        text = RegionalText(turn_id, previous, root or turn_id, text_of(turn_id), regions)
        give_up_at = self.now + limit
        self.carry_out(EDGE, self.texts.store(text, seconds, done, self.now, give_up_at))
        while not copies and self.now < give_up_at + 1.0:
            self.run(STEP_SECONDS)
        assert len(copies) == 1
        return copies[0]

    def fetch(
        self, *turn_ids: str, regions: tuple[str, ...] = ("east",), root: str = ""
    ) -> set[str]:
        """Return which texts of a chain are found within 2 s."""
        results: list[dict[str, bytes]] = []

        def done(found: dict[str, bytes], now: float) -> list[Effect]:
            results.append(found)
            return []

        wanted = {
            item: RegionalMark(digest_of(text_of(item)), len(text_of(item)), regions)
            for item in turn_ids
        }
        effects = self.texts.fetch(
            wanted, root or turn_ids[0], regions, done, self.now, self.now + 2.0
        )
        self.carry_out(EDGE, effects)
        while not results:
            self.run(STEP_SECONDS)
        for turn_id, text in results[0].items():
            assert text == text_of(turn_id)
        return set(results[0])


def text_of(turn_id: str) -> bytes:
    """Return the text that a turn has in these tests."""
    return f"text of {turn_id}".encode() * 20


def stores(site: TextSite) -> int:
    """Return how many texts were sent to storage nodes."""
    return sum(isinstance(message, StoreText) for _, message in site.delivered)
