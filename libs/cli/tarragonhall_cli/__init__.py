"""The operators' command-line tool, an HTTP client of the admin API."""
