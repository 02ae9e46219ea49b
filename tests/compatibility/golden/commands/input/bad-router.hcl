listen = "127.0.0.1:5050"
map = "map.json"
settings = "none.json"
stop_ms = -1
