"""The laboratory: many gateways in a modelled world of app servers, counter, discovery, clients and failures.

The model is free of I/O. It runs in simulated time with all gateways in one process (`play`), or in real time
behind sockets with real node processes (`live`). A referee checks the rules independently (`judge`).

These packages import only from those listed before them: `model`, `judge`, `tell`, `builds`, `play`, `live`,
`faults`; `schedules` imports none of them.
"""
