"""The operators' command-line tool, which talks HTTP to the admin API."""
