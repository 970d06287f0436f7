"""The command-line tool: reads the administration API of one or several processes."""
