"""The daemon that runs one or more roles in one process."""
