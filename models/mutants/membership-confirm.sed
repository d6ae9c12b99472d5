s|^#define confirmed(i) .*|#define confirmed(i) misses(i)|
