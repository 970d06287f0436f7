"""The streams between our own processes: framing, heartbeats, dialling and listening.

A frame is one msgpack array.  Control and requests share connections; weights are sent over
separate connections, so that a chunk never delays a heartbeat or a token.
"""
