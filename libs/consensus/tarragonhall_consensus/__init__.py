"""Replicated log: election, replication, membership, snapshots and synced storage.

The factory is `open_replica(folder, member_id, address, bootstrap, machine, rng, now)`; it returns
a `ReplicaApi`. `bootstrap` lists the founding members (one for a single member) and is used only
where the folder is new.
"""
