"""The daemon, which runs one or more roles in one process."""
