"""Stand-ins for the systems that chestnutshunt works with.

Each runs as a separate process, started by ``python -m``. ``POST /faults``
switches faults on and off, and ``GET /log`` returns the events that took
place in the process.
"""
