"""Files of a node that has a disk: written in order by one thread, atomically and synced."""

from __future__ import annotations

import contextlib
import os
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path, PurePosixPath

import absl.logging
from circuits.core.components import BaseComponent
from circuits.core.handlers import handler
from returns.result import Failure, Result, Success

from yokeline.effects import DeleteFile, WriteFile
from yokeline.errors import ErrorKind, YokelineError, YokelineException
from yokeline.node.bridge import Bridge

TEMPORARY_SUFFIX = ".tmp"
MAX_WAITING_WRITES = 1024
"""Writes that may wait for the disk before the event loop waits with them."""
_FILE_MODE = 0o600
_FOLDER_MODE = 0o700


class DataFolder(BaseComponent):
    """Carries out file effects without blocking the event loop.

    The service is not told when a write is on the disk; what it may rely on is the order:
    after a crash the files are as they were after some prefix of its effects.
    """

    channel = "data_folder"

    def __init__(self, bridge: Bridge, folder: Path) -> None:
        """Write below ``folder``, which must exist."""
        super().__init__(channel=bridge.channel)
        self._folder = folder
        self._writer = ThreadPoolExecutor(max_workers=1, thread_name_prefix="data-folder")
        self._waiting: list[Future[None]] = []
        bridge.carry_out_with(WriteFile, self._write)
        bridge.carry_out_with(DeleteFile, self._delete)

    def _write(self, effect: WriteFile) -> None:
        self._submit(effect)

    def _delete(self, effect: DeleteFile) -> None:
        self._submit(effect)

    def _submit(self, effect: WriteFile | DeleteFile) -> None:
        self._waiting = [future for future in self._waiting if not future.done()]
        if len(self._waiting) >= MAX_WAITING_WRITES:
            self._waiting[0].result()
        self._waiting.append(self._writer.submit(_carry_out, self._folder, effect))

    @handler("service_stopped")
    def _on_service_stopped(self, exit_code: int, output_seconds: float) -> None:
        """Wait until everything is written."""
        self._writer.shutdown(wait=True)


def open_folder(name: str) -> Result[Path, YokelineError]:
    """Return the data folder, created if need be, once a file in it could be written."""
    folder = Path(name)
    probe = folder / f"probe{TEMPORARY_SUFFIX}"
    try:
        folder.mkdir(mode=_FOLDER_MODE, parents=True, exist_ok=True)
        probe.write_bytes(b"")
        probe.unlink()
    except OSError as error:
        return Failure(_unusable(name, error))
    return Success(folder)


def read_all(folder: str) -> Result[dict[str, bytes], YokelineError]:
    """Return the files of a data folder by their relative names, for the start of a node.

    Files of interrupted writes are removed. A folder that does not exist is empty.
    """
    root = Path(folder)
    files: dict[str, bytes] = {}
    try:
        for path in sorted(root.rglob("*")):
            if not path.is_file() or path.is_symlink():
                continue
            if path.name.endswith(TEMPORARY_SUFFIX):
                path.unlink()
                continue
            files[path.relative_to(root).as_posix()] = path.read_bytes()
    except OSError as error:
        return Failure(_unusable(folder, error))
    return Success(files)


def write_file(folder: Path, effect: WriteFile) -> None:
    """Write or append to a file, and return once it is on the disk.

    Raises:
        OSError: The disk refused.
        YokelineException: The name leads out of the folder.
    """
    path = confined(folder, effect.name)
    path.parent.mkdir(mode=_FOLDER_MODE, parents=True, exist_ok=True)
    if effect.append:
        existed = path.exists()
        _write_synced(path, effect.data, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        if not existed:
            _sync_folder(path.parent)
        return
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    _write_synced(temporary, effect.data, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
    temporary.replace(path)
    _sync_folder(path.parent)


def delete_file(folder: Path, effect: DeleteFile) -> None:
    """Delete a file; one that is not there is a no-op.

    Raises:
        OSError: The disk refused.
        YokelineException: The name leads out of the folder.
    """
    path = confined(folder, effect.name)
    with contextlib.suppress(FileNotFoundError):
        path.unlink()
        _sync_folder(path.parent)


def confined(folder: Path, name: str) -> Path:
    """Return the path of ``name`` below ``folder``.

    Raises:
        YokelineException: The name is empty, absolute, has ``..`` in it, ends like a
            temporary file, or passes through a symbolic link out of the folder.
    """
    parts = PurePosixPath(name).parts
    is_plain = bool(parts) and not name.startswith("/") and ".." not in parts
    path = folder.joinpath(*parts) if is_plain else folder
    inside = path.resolve().is_relative_to(folder.resolve())
    if not is_plain or not inside or "\0" in name or name.endswith(TEMPORARY_SUFFIX):
        raise YokelineException(
            YokelineError(
                kind=ErrorKind.INTERNAL,
                message=f"the file name {name!r} is not one below the data folder",
                remedy="use a relative name without '..'",
            )
        )
    return path


def _carry_out(folder: Path, effect: WriteFile | DeleteFile) -> None:
    """Run in the writer thread: a failure is logged, and later effects still run."""
    try:
        if isinstance(effect, WriteFile):
            write_file(folder, effect)
        else:
            delete_file(folder, effect)
    except (OSError, YokelineException) as error:
        absl.logging.error(
            {"event": "data_folder_fault", "file": effect.name, "reason": str(error)}
        )


def _write_synced(path: Path, data: bytes, flags: int) -> None:
    descriptor = os.open(path, flags | os.O_CLOEXEC | os.O_NOFOLLOW, _FILE_MODE)
    with os.fdopen(descriptor, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _unusable(name: str, error: OSError) -> YokelineError:
    return YokelineError(
        kind=ErrorKind.BAD_SETTING,
        message=f"the data folder {name!r} cannot be used: {error.strerror or error}",
        remedy="set node.data_folder to a folder this process may write, or leave it empty",
    )
