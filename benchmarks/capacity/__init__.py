"""What each role costs as the fleet grows: measured slopes, their fits, the tables of docs/CAPACITY.md."""
