print("demo: not built yet")
