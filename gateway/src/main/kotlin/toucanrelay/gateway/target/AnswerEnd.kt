package toucanrelay.gateway.target

import toucanrelay.gateway.body.BodyPart

/**
 * Decides whether the body of an answer is complete whose last bytes have arrived without an error.
 *
 * A body of a stated length, or in chunks, says itself where it ends; its target may not have read the request until then.
 * One that ends with its connection is complete only if the target has ended the connection in order. A target that
 * does so before it was sent the whole request resets the connection, although the end of the answer may arrive first.
 */
internal object AnswerEnd {
    /**
     * Returns the end of a body.
     *
     * @param isFramed whether the answer says where its body ends, other than by the end of the connection.
     * @param isRequestSent whether the whole request was sent.
     */
    fun of(isFramed: Boolean, isRequestSent: Boolean): BodyPart =
        if (isFramed || isRequestSent) {
            BodyPart.End
        } else {
            BodyPart.Broken("the connection ended before the whole request was sent")
        }
}
