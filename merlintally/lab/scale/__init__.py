"""Scale tests: a cost measured at several sizes, its growth fitted, and held against a budget at the
operators' size. What each test measures stands in docs/scale-tests.md."""
