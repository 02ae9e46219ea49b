"""Publishes changes: entries of the voters' log, uploads, the resulting state and its snapshots."""
