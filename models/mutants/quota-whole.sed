s|#define part(n) .*|#define part(n) RATE|
