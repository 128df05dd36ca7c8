// Package atmostonce keeps non-repeatable actions single over a fleet of equal
// entry hosts that share no store and keep nothing.
package atmostonce
