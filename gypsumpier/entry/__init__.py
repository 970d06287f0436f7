"""The entry role: callers' HTTP, routing, limits, retries and the relaying of answers.

An entry keeps one connection, with one task, to each agent it may use.  A request becomes one
attempt or more; each attempt is one exchange on one connection.  An answer is complete only when
the attempt's final frame has arrived and its count matches the frames before it.
"""
