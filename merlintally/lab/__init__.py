"""The laboratory: a world of app servers, counter, discovery, clients and troubles round many gateways.

The world is free of I/O. It is run in simulated time round gateways in one process (`play`), or in real time
behind sockets round real node processes (`live`). A referee keeps its own books of what happened (`judge`).

These packages import only from those named before them: `model`, `judge`, `tell`, `builds`, `play`, `live`,
`faults`; `schedules` imports none of them.
"""
