// Package ownership decides which VM may order which runner. Claims in the platform's store settle every conflict.
package ownership
