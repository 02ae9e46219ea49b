"""How changes are published: log entries, uploads, the voters' book and its snapshots."""
