"""Decisions under load. Each module stands alone: time and random come in, decisions go out."""
