"""Files that are synced before anybody relies on them; the event loop never waits for the disk.

One thread writes and syncs in order. A disk may hang for seconds or refuse writes: what was
refused is tried again from the last length that is known good, and nothing later overtakes it.
"""

from __future__ import annotations

import contextlib
import os
import queue
import socket
import threading
import time
from collections import deque
from pathlib import Path

import absl.logging
from circuits.core.components import BaseComponent
from circuits.core.handlers import handler

from yokeline.effects import FileRefused, FileSynced, SyncFile
from yokeline.node.bridge import Bridge
from yokeline.node.poller import SocketPoller

RETRY_SECONDS = 0.1
_FILE_MODE = 0o600
_NEW_SUFFIX = ".new"


class SyncedFiles(BaseComponent):
    """Carries out :class:`SyncFile` effects and submits :class:`FileSynced` events."""

    channel = "synced_files"

    def __init__(self, bridge: Bridge, poller: SocketPoller, folder: Path) -> None:
        """Write below ``folder``, which must exist."""
        super().__init__(channel=bridge.channel)
        self._bridge = bridge
        self._poller = poller
        self._work: queue.SimpleQueue[SyncFile | None] = queue.SimpleQueue()
        self._reports: deque[FileRefused | FileSynced] = deque()
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        poller.watch(self._wake_reader, self, reading=True, writing=False)
        self._disk = _Disk(folder)
        self._thread = threading.Thread(target=self._run, name="synced-files", daemon=True)
        self._thread.start()
        bridge.carry_out_with(SyncFile, self._work.put)

    def socket_ready(self, *, readable: bool, writable: bool) -> None:
        """Report what the thread has finished (called by the poller)."""
        with contextlib.suppress(BlockingIOError):
            self._wake_reader.recv(4096)
        while self._reports:
            self._bridge.submit(self._reports.popleft())

    def abandon(self) -> None:
        """Go on: what met the fault has been taken from the socket."""

    @handler("service_stopped")
    def _on_service_stopped(self, exit_code: int, output_seconds: float) -> None:
        self._work.put(None)
        self._poller.retire(self._wake_reader)

    def _run(self) -> None:
        """Write, in the thread; several waiting appends are synced together."""
        while True:
            batch = self._next_batch()
            if not batch:
                return
            self._write_until_done(batch)
            self._reports.extend(FileSynced(item.ticket) for item in batch)
            self._wake()

    def _wake(self) -> None:
        """Have the event loop take what the thread reports."""
        with contextlib.suppress(OSError):
            self._wake_writer.send(b"\0")

    def _next_batch(self) -> list[SyncFile]:
        """Return the next write with all that wait behind it; empty at the end."""
        batch: list[SyncFile] = []
        item = self._work.get()
        while item is not None:
            batch.append(item)
            try:
                item = self._work.get_nowait()
            except queue.Empty:
                return batch
        if batch:
            self._work.put(None)
        return batch

    def _write_until_done(self, batch: list[SyncFile]) -> None:
        complained = False
        for run in _runs(batch):
            while True:
                try:
                    self._disk.write(run)
                    break
                except OSError as error:
                    if not complained:
                        complained = True
                        absl.logging.error({"event": "disk_refused", "reason": str(error)})
                        self._reports.append(FileRefused(str(error)))
                        self._wake()
                    time.sleep(RETRY_SECONDS)


def _runs(batch: list[SyncFile]) -> list[list[SyncFile]]:
    """Split a batch into runs of appends to one file, and single replacements."""
    runs: list[list[SyncFile]] = []
    for item in batch:
        joins = runs and not item.replace and not runs[-1][0].replace
        if joins and runs[-1][0].name == item.name:
            runs[-1].append(item)
        else:
            runs.append([item])
    return runs


class _Disk:
    """Blocking writes below a folder, each complete and synced on return."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._open: dict[str, int] = {}
        self._lengths: dict[str, int] = {}
        self._refused: set[str] = set()

    def write(self, run: list[SyncFile]) -> None:
        """Carry out a run; it may be tried again after an error.

        Raises:
            OSError: The disk refused.
        """
        first = run[0]
        if first.replace:
            self._replace(first.name, first.data)
            return
        data = b"".join(item.data for item in run)
        descriptor = self._descriptor(first.name)
        length = self._lengths[first.name]
        if first.name in self._refused:
            os.ftruncate(descriptor, length)
        self._refused.add(first.name)
        view = memoryview(data)
        written = 0
        while written < len(view):
            written += os.pwrite(descriptor, view[written:], length + written)
        os.fsync(descriptor)
        self._lengths[first.name] = length + len(data)
        self._refused.discard(first.name)

    def _descriptor(self, name: str) -> int:
        descriptor = self._open.get(name)
        if descriptor is None:
            path = self._folder / name
            descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, _FILE_MODE)
            try:
                self._sync_folder()
            except OSError:
                os.close(descriptor)
                raise
            self._lengths[name] = os.fstat(descriptor).st_size
            self._open[name] = descriptor
        return descriptor

    def _replace(self, name: str, data: bytes) -> None:
        temporary = self._folder / (name + _NEW_SUFFIX)
        descriptor = os.open(
            temporary, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, _FILE_MODE
        )
        try:
            view = memoryview(data)
            written = 0
            while written < len(view):
                written += os.pwrite(descriptor, view[written:], written)
            os.fsync(descriptor)
            os.replace(temporary, self._folder / name)
            self._sync_folder()
        except OSError:
            os.close(descriptor)
            # The unfinished copy would keep a full disk full.
            with contextlib.suppress(OSError):
                os.unlink(temporary)
            raise
        old = self._open.pop(name, None)
        if old is not None:
            os.close(old)
        self._open[name] = descriptor
        self._lengths[name] = len(data)

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
