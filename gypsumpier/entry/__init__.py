"""The entry role: callers' HTTP, routing, limits, retries and the relaying of answers.

An entry keeps one connection to each agent it may use and one task for each.  A request becomes
one attempt or more; each attempt is one exchange on one connection.  An answer is whole only when
the attempt's final frame has come with the count of what went before it.
"""
