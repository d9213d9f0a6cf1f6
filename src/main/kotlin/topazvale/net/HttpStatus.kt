package topazvale.net

/** The HTTP status codes that the protocols use. */
object HttpStatus {
    const val OK = 200
    const val CREATED = 201
    const val BAD_REQUEST = 400
    const val NOT_FOUND = 404
    const val METHOD_NOT_ALLOWED = 405
    const val CONFLICT = 409
    const val GONE = 410
    const val CONTENT_TOO_LARGE = 413
    const val MISDIRECTED = 421
    const val UNPROCESSABLE = 422
    const val TOO_MANY_REQUESTS = 429
    const val INTERNAL_ERROR = 500
    const val UNAVAILABLE = 503
}
