s|reaches_x(2) \&\& sent\[2\].inc == 0 \&\& newer(x, view\[2\])|false|;s|reaches(\([012]\), 2) \&\& sent|false \&\& sent|
