"""Recovery of the data folder after crashes, torn writes, damage, a full disk, failed syncs."""

from __future__ import annotations

import random

import pytest
from consensus_disk import Disk, PowerCut
from tarragonhall_consensus._messages import Entry, EntryKind, SnapshotMeta
from tarragonhall_consensus._storage import open_storage
from tarragonhall_model import StorageError

SEGMENT_BYTES = 400


def opened(disk, seed=1):
    return open_storage(disk, "data", "m0", random.Random(seed), SEGMENT_BYTES)


def entry(number, term=1):
    return Entry(term, EntryKind.DATA, b"%d" % number)


def data_of(storage):
    log = storage.log
    return [int(log.entry(index).data) for index in range(log.base_index + 1, log.last_index + 1)]


def write(storage, numbers):
    for number in numbers:
        storage.append(entry(number))
        storage.sync()


def workload(disk, synced):
    """Use every write operation; record in `synced` what is durable."""
    storage = opened(disk)
    synced["identity"] = storage.identity
    for number in range(1, 31):
        storage.save_state(number, f"v{number}", "g")
        storage.append(entry(number))
        synced["trying"] = number
        storage.sync()
        synced["last"] = number
        if number % 12 == 0:
            storage.save_snapshot(SnapshotMeta(number, 1, "g", (), 3, 0x352441C2), b"abc")
            storage.compact(number - 2)


def test_power_cut_between_any_two_steps():
    """Power fails at any call to the disk; unsynced data is lost, torn or garbled.

    All synced data must be present at the next start. Otherwise accepted changes would be lost, and
    a lost vote could elect two leaders.
    """
    power_cut_at = 0
    finished = False
    while not finished:
        power_cut_at += 1
        disk = Disk(random.Random(power_cut_at))
        disk.power_cut_at = power_cut_at
        synced = {"last": 0, "trying": 0}
        try:
            workload(disk, synced)
            finished = True
        except PowerCut:
            pass
        disk.power_cut_at = None
        disk.cut_power()
        storage = opened(disk, seed=2)
        assert storage.log.last_index in (synced["last"], synced["trying"])
        assert storage.state.term == storage.log.last_index
        if "identity" in synced:
            assert storage.identity == synced["identity"]
        numbers = data_of(storage)
        assert numbers == list(range(storage.log.base_index + 1, storage.log.last_index + 1))
        write(storage, [storage.log.last_index + 1])
    assert power_cut_at > 100


def test_torn_end_is_truncated_and_writing_continues():
    """The process dies during a write and leaves an incomplete frame at the end."""
    disk = Disk(random.Random(1))
    storage = opened(disk)
    write(storage, [1, 2])
    last = storage._segments[-1].path
    disk.kill()
    disk.file_by_name[last].data += b"\xa7THF\0\0"
    storage = opened(disk)
    assert data_of(storage) == [1, 2]
    write(storage, [3])
    disk.kill()
    assert data_of(opened(disk)) == [1, 2, 3]


@pytest.mark.parametrize("segment", [0, 1, -1])
def test_damage_in_the_middle_is_reported(segment):
    """A bit flips in data that was synced long ago.

    If the rest were truncated like a torn end, entries that this member has acknowledged would be
    lost silently.
    """
    disk = Disk(random.Random(1))
    storage = opened(disk)
    write(storage, range(1, 20))
    disk.kill()
    path = storage._segments[segment].path
    disk.file_by_name[path].data[len(disk.file_by_name[path].data) // 3] ^= 1
    with pytest.raises(StorageError, match="corrupt at byte"):
        opened(disk)


def test_replaced_entries_and_compaction():
    """A leader replaces entries back to before the newest segment, then the log is compacted.

    If all segments before the newest one were removed, the member could not read its log at the
    next start.
    """
    disk = Disk(random.Random(1))
    storage = opened(disk)
    number = 0
    while len(storage._segments) < 4:
        number += 1
        write(storage, [number])
    base = storage._segments[-1].base_index
    for index in range(base - 2, base + 20):
        storage.put(index, entry(index, term=2))
        storage.sync()
        storage.save_snapshot(SnapshotMeta(index, 2, "g", (), 3, 0x352441C2), b"abc")
        storage.compact(index)
        disk.kill()
        storage = opened(disk)
        assert (storage.log.last_index, storage.log.last_term) == (index, 2)
    assert len(storage._segments) < 4


def test_a_missing_segment_is_reported():
    """An operator removes a file from the data folder."""
    disk = Disk(random.Random(1))
    storage = opened(disk)
    write(storage, range(1, 30))
    disk.kill()
    del disk.file_by_name[storage._segments[1].path]
    with pytest.raises(StorageError, match="is missing"):
        opened(disk)


def test_a_file_that_is_no_segment_is_reported():
    """An operator leaves a copy of a segment in the data folder."""
    disk = Disk(random.Random(1))
    opened(disk)
    disk.kill()
    disk.create("data/copy of 1.segment")
    with pytest.raises(StorageError, match="not a file of this program"):
        opened(disk)


@pytest.mark.parametrize("damage", ["flip", "cut", "remove"])
def test_a_damaged_snapshot_is_reported(damage):
    """The snapshot is damaged, and the log that led to it has been compacted."""
    disk = Disk(random.Random(1))
    workload(disk, {})
    disk.kill()
    name = next(name for name in disk.file_by_name if name.endswith(".snapshot"))
    match damage:
        case "flip":
            disk.file_by_name[name].data[-1] ^= 1
        case "cut":
            del disk.file_by_name[name].data[-30:]
        case "remove":
            del disk.file_by_name[name]
    with pytest.raises(StorageError, match="replace"):
        opened(disk)


def test_disk_full_stops_the_member_and_loses_nothing():
    """The disk fills up while changes are accepted; operators then free space."""
    disk = Disk(random.Random(1))
    storage = opened(disk)
    write(storage, [1, 2])
    disk.free_bytes = 30
    with pytest.raises(StorageError, match="disk full"):
        write(storage, [3])
    disk.free_bytes = 1 << 30
    with pytest.raises(StorageError, match="restart"):
        write(storage, [4])
    disk.kill()
    storage = opened(disk)
    assert data_of(storage) == [1, 2]
    write(storage, [3])


def test_a_failed_sync_is_never_retried_on_the_same_file():
    """The disk fails one sync; the system drops the pages and later reports success.

    A retry on the same file would acknowledge data that is not on the disk. Accepted changes would
    be lost at the next power cut.
    """
    disk = Disk(random.Random(1))
    storage = opened(disk)
    write(storage, [1, 2])
    disk.fail_syncs = 1
    with pytest.raises(StorageError, match="sync failed"):
        write(storage, [3])
    with pytest.raises(StorageError, match="restart"):
        write(storage, [4])
    disk.kill()
    again = opened(disk)
    recovered = data_of(again)
    write(again, [9])
    disk.cut_power()
    assert data_of(opened(disk)) == [*recovered, 9]


def test_what_a_killed_process_left_unsynced_is_synced_before_use():
    """The process is killed between write and sync and restarts, and then power fails.

    The restarted process reads the entry from the system's memory and acts on it, so the entry must
    not be lost.
    """
    disk = Disk(random.Random(1))
    storage = opened(disk)
    write(storage, [1])
    disk.power_cut_at = disk.call_count + 3
    with pytest.raises(PowerCut):
        write(storage, [2])
    disk.kill()
    seen = data_of(opened(disk))
    assert seen == [1, 2]
    disk.cut_power()
    assert data_of(opened(disk)) == seen


def test_a_folder_of_a_newer_format_is_rejected():
    """An older version is started on a folder that a newer one has written."""
    disk = Disk(random.Random(1))
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("tarragonhall_consensus._storage.FORMAT_VERSION", 2)
        opened(disk)
    disk.kill()
    with pytest.raises(StorageError, match="format version 2"):
        opened(disk)


def test_the_folder_is_locked_and_a_new_one_gets_a_new_identity():
    disk = Disk(random.Random(1))
    first = opened(disk)
    with pytest.raises(StorageError, match="another process"):
        opened(disk)
    first.close()
    assert opened(disk, seed=2).identity == first.identity
    disk.wipe()
    assert opened(disk, seed=3).identity != first.identity
