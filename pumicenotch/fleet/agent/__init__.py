"""The agent beside a server: it holds versions, and starts and stops its server."""
