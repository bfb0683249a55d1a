//! Session of reports and orders with an engine.

use super::message::*;
use conn::{Connection, Error};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 1_000_000;

/// Session with one incarnation of an engine.
///
/// Reports and the orders that are based on them share one connection, which closes when the engine's process ends.
/// Thus an order never reaches a later incarnation than the one that sent the report, even if the engine does not
/// check the incarnation.
pub struct Session {
    addr: SocketAddr,
    connection: Connection,
    limit: Duration,
}

impl Session {
    /// Opens a session; `limit` applies to the connection and to each call.
    pub async fn open(addr: SocketAddr, limit: Duration) -> Result<Session, Error> {
        Ok(Session {
            addr,
            connection: Connection::open(addr, limit).await?,
            limit,
        })
    }

    /// Requests the engine's report.
    pub async fn report(&mut self) -> Result<Report, Error> {
        let request = conn::json_request::<()>(self.addr, REPORT_PATH, None)?;
        let reply = self
            .connection
            .exchange(request, self.limit, MAX_RESPONSE_BYTES)
            .await?;
        conn::read_json(self.addr, &reply)
    }

    /// Sends an order.
    pub async fn order(&mut self, order: &Order) -> Result<OrderStatus, Error> {
        let request = conn::json_request(self.addr, ORDER_PATH, Some(order))?;
        let reply = self
            .connection
            .exchange(request, self.limit, MAX_RESPONSE_BYTES)
            .await?;
        conn::read_json(self.addr, &reply)
    }

    /// Reads the cache events with a sequence number greater than `after`.
    pub async fn cache(&mut self, after: u64) -> Result<Vec<CacheEvent>, Error> {
        let path = format!("{CACHE_PATH}?after={after}");
        let request = conn::json_request::<()>(self.addr, &path, None)?;
        let reply = self
            .connection
            .exchange(request, self.limit, MAX_RESPONSE_BYTES)
            .await?;
        conn::read_json(self.addr, &reply)
    }
}
