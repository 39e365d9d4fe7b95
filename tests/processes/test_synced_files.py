from __future__ import annotations

import errno
import os
import socket
import tempfile
import threading
import unittest
from pathlib import Path
from typing import cast
from unittest import mock

from tests.processes.support import LOOPBACK, Running, ScriptedService, wait_for
from yokeline.effects import Event, FileRefused, FileSynced, SyncFile
from yokeline.node.bridge import Bridge
from yokeline.node.poller import SocketPoller
from yokeline.node.process import ServiceBinding
from yokeline.node.synced_files import SyncedFiles


class Reports:
    """Bridge and poller of files whose reports wait until the test takes them."""

    channel = "reports"

    def __init__(self) -> None:
        self.events: list[Event] = []

    def carry_out_with(self, kind: object, carry_out: object) -> None:
        pass

    def watch(self, reader: socket.socket, *_: object, **__: object) -> None:
        self.reader = reader

    def submit(self, event: Event) -> None:
        self.events.append(event)

    def waiting(self) -> int:
        """Return how many reports wait."""
        try:
            return len(self.reader.recv(16, socket.MSG_PEEK))
        except BlockingIOError:
            return 0


class FullDisk(unittest.TestCase):
    """A storage node must hear that its disk is full, and not only wait for it."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.is_full = threading.Event()
        fsync = os.fsync

        def refusing_fsync(descriptor: int) -> None:
            if self.is_full.is_set():
                raise OSError(errno.ENOSPC, "No space left on device")
            fsync(descriptor)

        patch = mock.patch("yokeline.node.synced_files.os.fsync", refusing_fsync)
        patch.start()
        self.addCleanup(patch.stop)

    def write(self, *effects: SyncFile) -> ScriptedService:
        """Write while the disk is full, then make space; return the service at the end."""
        service = ScriptedService()
        binding = ServiceBinding(peer=LOOPBACK, synced_folder=str(self.folder))
        self.is_full.set()
        with Running(service, binding) as running:
            running.emit(*effects)
            wait_for(lambda: service.seen(FileRefused), "the refusal")
            self.assertEqual(service.seen(FileSynced), [])
            wait_for(lambda: not any(self.folder.glob("*.new")), "the end of the copy")
            self.is_full.clear()
            wait_for(lambda: service.seen(FileSynced), "the write")
        return service

    def test_a_refusal_is_told_once_and_the_write_is_repeated(self) -> None:
        service = self.write(SyncFile(ticket=1, name="log", data=b"abc"))
        refusals = service.seen(FileRefused)
        self.assertEqual(len(refusals), 1)
        assert isinstance(refusals[0], FileRefused)
        self.assertIn("No space left", refusals[0].reason)
        self.assertEqual((self.folder / "log").read_bytes(), b"abc")

    def test_a_copy_that_does_not_fit_is_removed(self) -> None:
        """An unfinished compacted log would keep the disk full."""
        self.write(SyncFile(ticket=1, name="log", data=b"abc", replace=True))
        self.assertEqual((self.folder / "log").read_bytes(), b"abc")

    def test_refusals_and_writes_are_told_in_their_order(self) -> None:
        """A write before a refusal, told after it, made the disk look as if it took writes."""
        reports = Reports()
        files = SyncedFiles(cast(Bridge, reports), cast(SocketPoller, reports), self.folder)
        files._work.put(SyncFile(ticket=1, name="log", data=b"abc"))
        wait_for(lambda: reports.waiting() == 1, "the write")
        self.is_full.set()
        files._work.put(SyncFile(ticket=2, name="log", data=b"def"))
        wait_for(lambda: reports.waiting() == 2, "the refusal")
        files.socket_ready(readable=True, writable=False)
        self.assertEqual([type(event) for event in reports.events], [FileSynced, FileRefused])
        self.is_full.clear()
        wait_for(lambda: reports.waiting() == 1, "the write that was refused")
        files._work.put(None)


if __name__ == "__main__":
    unittest.main()
